"""The scale experiment: measures a fleet with endpoint lists of three sizes, without load and under load."""

"""The scale experiment: one fleet with endpoint lists of three sizes, idle and under load."""

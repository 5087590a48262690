"""Stand-ins for the parties around a gateway, written from the protocol page, for the cases from 6 on."""

"""The users' platform: translation between its protocol and the gateway's types."""

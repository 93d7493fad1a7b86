"""Parts that the balancer and the agent daemon share."""

"""The beanstalkd protocol: one more front before and behind the core."""

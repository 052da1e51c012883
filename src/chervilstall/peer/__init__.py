"""Protocol between Chervilstall processes: typed messages over ZeroMQ."""

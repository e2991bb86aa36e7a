"""Operation of a running dispatcher: the calls on its management port."""

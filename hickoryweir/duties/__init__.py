"""Duties towards the infrastructure that one VM has at a time, the holder.

Only the leader of the replicated log may hold them, under a fencing token from the log.
"""

"""Clock, timer service, alarms and inboxes for the tasks of a node."""

package catalog

// LogEntry is a log entry about a change of the control state.
type LogEntry struct {
	Message string
	Fields  []any // alternating keys and values
}

// TakeLogEntries returns the log entries since the last call.
func (c *Core) TakeLogEntries() []LogEntry {
	entries := c.logEntries
	c.logEntries = nil
	return entries
}

// logFact adds a log entry with the revision and the source of the facts that caused it.
func (c *Core) logFact(message string, fields ...any) {
	c.log(message, append(fields, "revision", c.revision.String(), "source", c.source.String())...)
}

func (c *Core) log(message string, fields ...any) {
	c.logEntries = append(c.logEntries, LogEntry{message, fields})
	c.dirty = true
}

package relay

// MaxConnections is the number of connections that a relay holds at once.
const MaxConnections = maxConnections

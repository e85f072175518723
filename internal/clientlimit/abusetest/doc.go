// Package abusetest holds the tests of overload protection against misbehaving clients.
// Each test runs the real process of an entry VM on loopback addresses, with lowered
// limits; see docs/design/client-limits-tests.md.
package abusetest

// Package proxy forwards TCP connections between loopback addresses and injects
// faults: closed, frozen, delayed and half-open connections, and responses that
// are sent to another client.
package proxy

// Package proxy forwards TCP connections between loopback addresses and puts
// faults on them: cut, freeze, delay and half-open connections.
package proxy

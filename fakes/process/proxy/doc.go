// Package proxy forwards TCP connections between loopback addresses and puts
// faults on them: cut, freeze, delay, half-open connections, and answers that
// reach another client than their own.
package proxy

package spread

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/wire"
)

// PeerClient is the HTTP client for calls to peers. All twirp clients that use
// it share one bounded connection pool. It implements ConfigClients.
type PeerClient struct {
	client *http.Client
	key    string
}

// NewPeerClient returns a client that sends key as the peer key and cancels a
// call after timeout; zero means 1 s.
func NewPeerClient(key string, timeout time.Duration) *PeerClient {
	if timeout <= 0 {
		timeout = time.Second
	}
	dialer := &net.Dialer{Timeout: timeout}
	return &PeerClient{key: key, client: &http.Client{
		Timeout: timeout,
		// Peers never redirect, and the key must not be sent to other hosts.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &rest.LimitedTransport{MaxBody: maxBodyBytes, Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			MaxConnsPerHost:       4,
			MaxIdleConnsPerHost:   1,
			MaxIdleConns:          256,
			IdleConnTimeout:       30 * time.Second,
			ResponseHeaderTimeout: timeout,
			DisableCompression:    true,
		}},
	}}
}

// ConfigClient implements ConfigClients.
func (p *PeerClient) ConfigClient(addr netip.AddrPort) wire.Config {
	return wire.NewConfigProtobufClient("http://"+addr.String(), p)
}

// Do implements wire.HTTPClient. It adds the peer key, limits the size of the
// response body and counts the traffic.
func (p *PeerClient) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(PeerKeyHeader, p.key)
	countSent(requestSize(req))
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	countReceived(headerSize(resp.Header))
	resp.Body = &countingBody{ReadCloser: resp.Body, r: resp.Body}
	return resp, nil
}

// Close closes the idle connections.
func (p *PeerClient) Close() { p.client.CloseIdleConnections() }

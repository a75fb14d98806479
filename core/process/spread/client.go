package spread

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"parsleyroute.example/core/wire"
)

// PeerClient makes twirp clients that share one bounded pool of connections. It
// implements ConfigClients. Close releases the idle connections.
type PeerClient struct {
	client *http.Client
	key    string
}

// NewPeerClient returns clients that send key and give up a call after timeout;
// zero means 1 s.
func NewPeerClient(key string, timeout time.Duration) *PeerClient {
	if timeout <= 0 {
		timeout = time.Second
	}
	dialer := &net.Dialer{Timeout: timeout}
	return &PeerClient{key: key, client: &http.Client{
		Timeout: timeout,
		// Peers never redirect, and the key must not go elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			MaxConnsPerHost:       4,
			MaxIdleConnsPerHost:   1,
			MaxIdleConns:          256,
			IdleConnTimeout:       30 * time.Second,
			ResponseHeaderTimeout: timeout,
			DisableCompression:    true,
		},
	}}
}

// ConfigClient implements ConfigClients.
func (p *PeerClient) ConfigClient(addr netip.AddrPort) wire.Config {
	return wire.NewConfigProtobufClient("http://"+addr.String(), p)
}

// Do implements wire.HTTPClient: it adds the peer key, bounds the answer and
// counts.
func (p *PeerClient) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(PeerKeyHeader, p.key)
	countSent(requestSize(req))
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	countReceived(headerSize(resp.Header))
	resp.Body = &countedBody{ReadCloser: resp.Body, r: io.LimitReader(resp.Body, maxBody)}
	return resp, nil
}

// Close closes the idle connections.
func (p *PeerClient) Close() { p.client.CloseIdleConnections() }

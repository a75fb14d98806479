package system_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
)

// callAdmin calls the operators' API of an entry. It decodes a successful response
// into v and returns the detail of an error response.
func (c *cluster) callAdmin(e *node, key, method, path, body string, v any) (int, admin.ErrorDetail) {
	GinkgoHelper()
	req, err := http.NewRequest(method, "http://"+e.listen.String()+"/v1/admin"+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	p, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	var f admin.ErrorResponse
	if resp.StatusCode/100 != 2 {
		Expect(json.Unmarshal(p, &f)).To(Succeed(), string(p))
	} else if v != nil {
		Expect(json.Unmarshal(p, v)).To(Succeed(), string(p))
	}
	return resp.StatusCode, f.Error
}

// takeZoneOut takes a zone out of service, and returnZone reverses that. Both
// return the accepted change.
func (c *cluster) takeZoneOut(e *node, zone string) admin.Ref {
	GinkgoHelper()
	return c.changeZone(e, http.MethodPost, zone)
}

func (c *cluster) returnZone(e *node, zone string) admin.Ref {
	GinkgoHelper()
	return c.changeZone(e, http.MethodDelete, zone)
}

func (c *cluster) changeZone(e *node, method, zone string) admin.Ref {
	GinkgoHelper()
	var w admin.WriteResult
	status, failure := c.callAdmin(e, operatorKey, method, "/out/zone/"+zone, "", &w)
	Expect(status).To(Equal(200), failure.Message)
	return admin.Ref{Kind: w.Kind, Name: w.Name, Version: w.Version}
}

// queryStatus queries an entry for the status of all instances.
func (c *cluster) queryStatus(e *node, refs ...admin.Ref) admin.Status {
	GinkgoHelper()
	p, err := json.Marshal(admin.StatusQuery{Refs: refs})
	Expect(err).NotTo(HaveOccurred())
	var s admin.Status
	status, failure := c.callAdmin(e, operatorKey, http.MethodPost, "/status", string(p), &s)
	Expect(status).To(Equal(200), failure.Message)
	return s
}

// versionInEffect returns the version of the object that is in effect on an
// instance, or 0.
func versionInEffect(in admin.InstanceStatus, kind core.Kind, name string) uint64 {
	for _, r := range in.Refs {
		if r.Kind == kind && r.Name == name {
			return r.Version
		}
	}
	return 0
}

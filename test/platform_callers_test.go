package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// callerResponse is an HTTP response as a caller receives it.
type callerResponse struct {
	status int
	header http.Header
	body   string
}

// call is one request of a caller. It uses a new connection unless client is set.
type call struct {
	client  *http.Client
	address string
	method  string
	host    string
	target  string
	id      string
	body    []byte
	header  http.Header
	timeout time.Duration
}

// do sends the request and reads the whole response.
func (c call) do() (callerResponse, error) {
	request, err := http.NewRequest(c.method, "http://"+c.address+c.target, bytes.NewReader(c.body))
	if err != nil {
		return callerResponse{}, err
	}
	request.Host = c.host
	for name, values := range c.header {
		request.Header[name] = values
	}
	request.Header.Set("Pathtally-Request-Id", c.id)
	client := c.client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: c.timeout}
	}
	response, err := client.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(read)}, err
}

// send sends one request to a node on a new connection.
func (d *platformDeployment) send(node *platformNode, method, host, target, id string, body []byte, header http.Header) (callerResponse, error) {
	return call{address: node.http, method: method, host: host, target: target, id: id, body: body, header: header, timeout: waitTimeout}.do()
}

// draftItem returns an item of a batch job in the format of the users' trainers.
func draftItem(job string, number int) map[string]any {
	id := fmt.Sprintf("%s.%d", job, number)
	return map[string]any{
		"id": id, "path": "/drafts/run?x=1", "body": []byte("prompt of " + id), "group": fmt.Sprint(number / 4), "tokens": 200,
		"headers": map[string]string{"Pathtally-Model": draftModel, "Pathtally-Token-Usage": "100,100", "Pathtally-Prefix-Hash": "a1:100"},
		"scorer":  map[string]any{"id": "score." + id, "host": liveHost, "path": "/score/" + id, "body": []byte("text")},
	}
}

// submit submits a batch job until the node accepts it.
func (d *platformDeployment) submit(node *platformNode, job string, items int, minVersion int64) {
	d.t.Helper()
	d.submitAs(node, nil, job, items, minVersion)
}

// submitAs is submit with request headers.
func (d *platformDeployment) submitAs(node *platformNode, header http.Header, job string, items int, minVersion int64) {
	d.t.Helper()
	body := d.payload(job, items, minVersion)
	d.eventually("the batch job to be accepted", func() bool {
		response, err := d.send(node, http.MethodPost, draftHost, "/drafts/"+job, job, body, header)
		return err == nil && response.status == http.StatusAccepted
	})
}

// payload returns the body of a batch job submission.
func (d *platformDeployment) payload(job string, items int, minVersion int64) []byte {
	d.t.Helper()
	var requests []map[string]any
	for number := range items {
		requests = append(requests, draftItem(job, number))
	}
	body, err := json.Marshal(map[string]any{"step": 0, "model": draftModel, "minVersion": minVersion, "desired": items / 4, "requests": requests})
	if err != nil {
		d.t.Fatal(err)
	}
	return body
}

// itemResult is the result of an item as a trainer reads it.
type itemResult struct {
	ID       string
	State    string
	Message  string
	Versions []int64
	Score    string
}

// read reads a job, each time from the node that node returns, until it has all results.
func (d *platformDeployment) read(node func() *platformNode, job string, items int) []itemResult {
	d.t.Helper()
	return d.readAs(node, http.Header{}, job, items)
}

// readAs is read with request headers.
func (d *platformDeployment) readAs(node func() *platformNode, header http.Header, job string, items int) []itemResult {
	d.t.Helper()
	header = header.Clone()
	header.Set("Pathtally-Wait-Ms", "200")
	var results []itemResult
	d.eventually("all results of the batch job", func() bool {
		response, err := d.send(node(), http.MethodGet, draftHost, fmt.Sprintf("/-/lots/%s?sinceRev=%d", job, len(results)), "reader", nil,
			header)
		if err != nil || response.status != http.StatusOK {
			return false
		}
		var page struct {
			Total     int
			NextToken int
			Results   []itemResult
		}
		if err := json.Unmarshal([]byte(response.body), &page); err != nil {
			d.t.Fatalf("decode page of results: %v", err)
		}
		if page.Total != items || page.NextToken != len(results)+len(page.Results) {
			d.t.Fatalf("page of results: total %d, want %d; next token %d after %d results and a page of %d", page.Total, items, page.NextToken, len(results), len(page.Results))
		}
		results = append(results, page.Results...)
		return len(results) == items
	})
	return results
}

// checkResults checks that each item is listed once, with the text that the replicas
// generate for it, a score and sufficiently recent versions.
func (d *platformDeployment) checkResults(results []itemResult, items int, minVersion int64) {
	d.t.Helper()
	seen := map[string]bool{}
	for _, result := range results {
		if seen[result.ID] {
			d.t.Errorf("item %s is listed twice", result.ID)
		}
		seen[result.ID] = true
		if result.State != "succeeded" || result.Message != replica.Text(result.ID) || result.Score == "" {
			d.t.Errorf("item %s: state %s, text %q, score %q", result.ID, result.State, result.Message, result.Score)
		}
		for _, version := range result.Versions {
			if version < minVersion {
				d.t.Errorf("item %s was generated by version %d, want at least %d", result.ID, version, minVersion)
			}
		}
		if len(result.Versions) == 0 {
			d.t.Errorf("item %s has no version", result.ID)
		}
	}
	if len(seen) != items {
		d.t.Errorf("%d items listed, want %d", len(seen), items)
	}
}

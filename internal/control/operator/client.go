package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// Client speaks to the operator listener of a daemon.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// NewClient returns a client of the daemon at the base URL.
func NewClient(base, key string, client *http.Client) *Client {
	return &Client{base: base, key: key, client: client}
}

// Tables returns the current document.
func (c *Client) Tables(ctx context.Context) (*tables.Document, error) {
	doc := &tables.Document{}
	return doc, c.call(ctx, http.MethodGet, "/operator/v1/tables", nil, doc)
}

// History returns an earlier version of the document.
func (c *Client) History(ctx context.Context, version int64) (*tables.Document, error) {
	doc := &tables.Document{}
	return doc, c.call(ctx, http.MethodGet, fmt.Sprintf("/operator/v1/history/%d", version), nil, doc)
}

// PutTables replaces the whole tables.
func (c *Client) PutTables(ctx context.Context, text []byte, base int64, editID string) (EditResponse, error) {
	var reply EditResponse
	path := fmt.Sprintf("/operator/v1/tables?base_version=%d&edit_id=%s", base, url.QueryEscape(editID))
	return reply, c.call(ctx, http.MethodPut, path, text, &reply)
}

// ApplyAction takes one act.
func (c *Client) ApplyAction(ctx context.Context, act tables.Action, editID string) (EditResponse, error) {
	var reply EditResponse
	body, err := json.Marshal(act)
	if err != nil {
		return reply, errors.Wrap(err, "encode act")
	}
	return reply, c.call(ctx, http.MethodPost, "/operator/v1/acts?edit_id="+url.QueryEscape(editID), body, &reply)
}

// Status returns the accounts of all daemons, or of the one asked.
func (c *Client) Status(ctx context.Context, all bool) ([]Status, error) {
	var list []Status
	path := "/operator/v1/status"
	if all {
		path += "?all=1"
	}
	return list, c.call(ctx, http.MethodGet, path, nil, &list)
}

// Rows lists rows of a shown table.
func (c *Client) Rows(ctx context.Context, table, after string) ([]tableservice.Row, error) {
	var rows []tableservice.Row
	return rows, c.call(ctx, http.MethodGet, "/operator/v1/rows/"+table+"?after="+url.QueryEscape(after), nil, &rows)
}

// call makes one call; a refusal comes back as a *result.Error.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(text, out), "decode answer")
	}
	var refusal result.Body
	if err := json.Unmarshal(text, &refusal); err != nil {
		return errors.Errorf("daemon answered %s", response.Status)
	}
	code, ok := result.Find(refusal.Error.Number)
	if !ok {
		code = result.Internal
	}
	return result.New(code, "%s", refusal.Error.Message)
}

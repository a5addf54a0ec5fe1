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

// Client calls the operator API of a daemon. Error responses are returned as *result.Error.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// NewClient returns a client of the daemon at the base URL. The key is the operator's.
func NewClient(base, key string, client *http.Client) *Client {
	return &Client{base: base, key: key, client: client}
}

// Tables returns the current document.
func (c *Client) Tables(ctx context.Context) (*tables.Document, error) {
	doc := &tables.Document{}
	return doc, c.call(ctx, http.MethodGet, "/operator/v1/tables", nil, doc)
}

// History returns the given version of the document from the archive.
func (c *Client) History(ctx context.Context, version int64) (*tables.Document, error) {
	doc := &tables.Document{}
	return doc, c.call(ctx, http.MethodGet, fmt.Sprintf("/operator/v1/history/%d", version), nil, doc)
}

// PutTables replaces all tables. The edit is refused if base is not the current version.
func (c *Client) PutTables(ctx context.Context, text []byte, base int64, editID string) (EditResponse, error) {
	var resp EditResponse
	path := fmt.Sprintf("/operator/v1/tables?base_version=%d&edit_id=%s", base, url.QueryEscape(editID))
	return resp, c.call(ctx, http.MethodPut, path, text, &resp)
}

// ApplyAction applies one action to the current tables.
func (c *Client) ApplyAction(ctx context.Context, action tables.Action, editID string) (EditResponse, error) {
	var resp EditResponse
	body, err := json.Marshal(action)
	if err != nil {
		return resp, errors.Wrap(err, "encode action")
	}
	return resp, c.call(ctx, http.MethodPost, "/operator/v1/acts?edit_id="+url.QueryEscape(editID), body, &resp)
}

// Status returns the status of all daemons, or only that of the called one.
func (c *Client) Status(ctx context.Context, all bool) ([]Status, error) {
	var statuses []Status
	path := "/operator/v1/status"
	if all {
		path += "?all=1"
	}
	return statuses, c.call(ctx, http.MethodGet, path, nil, &statuses)
}

// Rows returns one page of the rows of a table, from the first key greater than after.
func (c *Client) Rows(ctx context.Context, table, after string) ([]tableservice.Row, error) {
	var rows []tableservice.Row
	return rows, c.call(ctx, http.MethodGet, "/operator/v1/rows/"+table+"?after="+url.QueryEscape(after), nil, &rows)
}

// call sends a request and decodes the response into out.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(text, out), "decode response")
	}
	var errorBody result.Body
	if err := json.Unmarshal(text, &errorBody); err != nil {
		return errors.Errorf("daemon responded with status %s", response.Status)
	}
	code, ok := result.Find(errorBody.Error.Number)
	if !ok {
		code = result.Internal
	}
	return result.New(code, "%s", errorBody.Error.Message)
}

// Package bills replicates the bill record of each finished request to another daemon, so
// that it survives the loss of this one, and writes records to the table service in batches.
package bills

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// Table is the table of bill records. Its key is the request ID.
const Table = "bills"

const (
	replicateTimeout  = 500 * clock.Millis(1)
	maxHolderAttempts = 3
)

// Peers sends replicas of bill records to other daemons.
type Peers interface {
	// HoldBills asks the daemon to hold replicas of the records and reports whether it
	// accepted them.
	HoldBills(ctx context.Context, address string, records []billing.Record) bool
	// ReleaseBills notifies the daemon that the records are in the table service. It returns
	// no error: a daemon that misses the message writes the records again without effect.
	ReleaseBills(ctx context.Context, address string, ids []string)
}

// Recorder stores the bill records of this daemon, and replicas for its peers, until they
// are in the table service. Safe for concurrent use.
type Recorder struct {
	common       *common.Common
	ledger       *billing.Ledger
	tableService tableservice.Service
	peers        Peers
	snapshot     func() *controlstate.Snapshot

	mu      sync.Mutex
	holders map[string]string // request ID to the peer address of the replica; guarded by mu
	flushMu sync.Mutex        // held during a flush
}

// NewRecorder returns a recorder without records.
func NewRecorder(c *common.Common, tableService tableservice.Service, peers Peers, snapshot func() *controlstate.Snapshot) *Recorder {
	ledger := billing.NewLedger(int(c.Settings.Bills.MaxPending), clock.Millis(c.Settings.Bills.HolderWaitMs))
	return &Recorder{common: c, ledger: ledger, tableService: tableService, peers: peers, snapshot: snapshot, holders: make(map[string]string)}
}

// Full reports whether new requests must be rejected, so that no bill record is dropped.
func (r *Recorder) Full() bool { return r.ledger.Full() }

// Counts returns the number of this daemon's unwritten records and of replicas.
func (r *Recorder) Counts() (own, held int) { return r.ledger.Counts() }

// Record stores the record and returns once another daemon holds a replica or the table
// service has it. It must be called before the last byte of the response is sent. If
// neither is available, this daemon alone has the record and Record returns an error that
// the caller can only log, since part of the response has been sent.
func (r *Recorder) Record(ctx context.Context, record billing.Record) error {
	r.ledger.Add(record)
	for _, address := range r.holderAddresses(record.ID) {
		if r.replicate(ctx, address, []billing.Record{record}) {
			r.mu.Lock()
			r.holders[record.ID] = address
			r.mu.Unlock()
			return nil
		}
	}
	return errors.Wrap(r.write(ctx, []billing.Record{record}), "bill record has no replica")
}

// holderAddresses returns the peer addresses to try in turn for a replica. Live peers in
// other data centres come first.
func (r *Recorder) holderAddresses(id string) []string {
	s := r.snapshot()
	var sameCentre, addresses []string
	for _, name := range container.Rendezvous(id, s.LivePeers, func(m string) string { return m }) {
		host, ok := s.Document.Hosts[name]
		if !ok {
			continue
		}
		if host.DataCentre == s.DataCentre {
			sameCentre = append(sameCentre, host.PeerAddress)
		} else {
			addresses = append(addresses, host.PeerAddress)
		}
	}
	addresses = append(addresses, sameCentre...)
	return addresses[:min(len(addresses), maxHolderAttempts)]
}

func (r *Recorder) replicate(ctx context.Context, address string, records []billing.Record) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicateTimeout.Duration())
	defer cancel()
	return r.peers.HoldBills(ctx, address, records)
}

// Hold stores replicas of a peer's records. It returns false and stores none if they
// exceed the limit.
func (r *Recorder) Hold(records []billing.Record) bool {
	return r.ledger.Hold(records, r.common.Clock.Now())
}

// Release removes replicas that their origin has written.
func (r *Recorder) Release(ids []string) { r.ledger.Release(ids) }

var errFlushInProgress = errors.New("another flush is in progress")

// flushRetryDelay is how long HandOver waits before it tries again while another flush is in
// progress.
const flushRetryDelay = 20 * time.Millisecond

// Flush writes one batch of due records and returns the size of the batch. Concurrent
// calls fail.
func (r *Recorder) Flush(ctx context.Context) (int, error) {
	if !r.flushMu.TryLock() {
		return 0, errFlushInProgress
	}
	defer r.flushMu.Unlock()
	due := r.ledger.Due(int(r.common.Settings.Bills.BatchRows), r.common.Clock.Now())
	if len(due) == 0 {
		return 0, nil
	}
	return len(due), r.write(ctx, due)
}

// write inserts the records that are absent. If the response is lost, the records stay in
// the ledger and are written again without effect.
func (r *Recorder) write(ctx context.Context, records []billing.Record) error {
	batch := tableservice.Batch{}
	for _, record := range records {
		w, err := tableservice.NewWrite(Table, record.ID, record, tableservice.IfAbsent, 0)
		if err != nil {
			return err
		}
		batch.Writes = append(batch.Writes, w)
	}
	if _, err := r.tableService.Commit(ctx, batch); err != nil {
		return err
	}
	r.ledger.MarkWritten(records)
	r.releaseReplicas(ctx, records)
	return nil
}

// releaseReplicas notifies the holders of replicas that the records are written.
func (r *Recorder) releaseReplicas(ctx context.Context, records []billing.Record) {
	byAddress := make(map[string][]string)
	r.mu.Lock()
	for _, record := range records {
		if address, ok := r.holders[record.ID]; ok {
			byAddress[address] = append(byAddress[address], record.ID)
			delete(r.holders, record.ID)
		}
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	for address, ids := range byAddress {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicateTimeout.Duration())
			defer cancel()
			// A holder that misses this message writes the records again without effect.
			r.peers.ReleaseBills(ctx, address, ids)
		}()
	}
	wg.Wait()
}

// HandOver writes the remaining records to the table service at shutdown or, if that
// fails, replicates them to two peers. It returns an error if no peer accepts them.
func (r *Recorder) HandOver(ctx context.Context) error {
	for {
		n, err := r.Flush(ctx)
		if errors.Is(err, errFlushInProgress) {
			time.Sleep(flushRetryDelay)
			continue
		}
		if err != nil || n == 0 {
			break
		}
	}
	remaining := r.ledger.All()
	if len(remaining) == 0 {
		return nil
	}
	replicas := 0
	for _, address := range r.holderAddresses("handover") {
		if r.replicate(ctx, address, remaining) {
			replicas++
		}
		if replicas == 2 {
			return nil
		}
	}
	if replicas == 0 {
		return errors.Errorf("%d bill records could not be handed over to any peer", len(remaining))
	}
	return nil
}

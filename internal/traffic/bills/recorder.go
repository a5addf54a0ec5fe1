// Package bills makes every finished request's bill outlast this daemon, and
// writes bills to the table service in batches.
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

// Table is the table that holds the bill records, by request id.
const Table = "bills"

const (
	holdLimit    = 500 * clock.Millis(1)
	holdersToTry = 3
)

// Peers is what the keeper needs of other daemons.
type Peers interface {
	// HoldBills asks the daemon to keep the records; it tells whether it does.
	HoldBills(ctx context.Context, address string, records []billing.Record) bool
	// ReleaseBills says that the records are written.
	ReleaseBills(ctx context.Context, address string, ids []string)
}

// Recorder is safe for concurrent use.
type Recorder struct {
	common    *common.Common
	ledger    *billing.Ledger
	table     tableservice.Service
	peers     Peers
	snapshots func() *controlstate.Snapshot

	mu      sync.Mutex
	holders map[string]string // request id to the peer address that holds its record
	writing sync.Mutex
}

// NewRecorder returns a keeper without records.
func NewRecorder(c *common.Common, table tableservice.Service, peers Peers, snapshots func() *controlstate.Snapshot) *Recorder {
	ledger := billing.NewLedger(int(c.Settings.Bills.MaxPending), clock.Millis(c.Settings.Bills.HolderWaitMs))
	return &Recorder{common: c, ledger: ledger, table: table, peers: peers, snapshots: snapshots, holders: make(map[string]string)}
}

// Full tells whether new work must be refused for lack of room for its bill.
func (k *Recorder) Full() bool { return k.ledger.Full() }

// Counts returns the numbers of own and of held records.
func (k *Recorder) Counts() (own, held int) { return k.ledger.Counts() }

// Record takes in a record before the answer's last byte goes out. It returns
// once a second daemon holds the record, or the table service has it. Where
// neither is to be had, the record stays with this daemon alone and Record
// returns an error that is logged, since the answer can't be taken back.
func (k *Recorder) Record(ctx context.Context, r billing.Record) error {
	k.ledger.Add(r)
	for _, address := range k.holderAddresses(r.ID) {
		if k.holdAt(ctx, address, []billing.Record{r}) {
			k.mu.Lock()
			k.holders[r.ID] = address
			k.mu.Unlock()
			return nil
		}
	}
	return errors.Wrap(k.write(ctx, []billing.Record{r}), "bill is kept by this daemon alone")
}

// holderAddresses prefers live peers in other data centres.
func (k *Recorder) holderAddresses(id string) []string {
	s := k.snapshots()
	var near, all []string
	for _, name := range container.Rendezvous(id, s.LivePeers, func(m string) string { return m }) {
		host, ok := s.Document.Hosts[name]
		if !ok {
			continue
		}
		if host.DataCentre == s.DataCentre {
			near = append(near, host.PeerAddress)
		} else {
			all = append(all, host.PeerAddress)
		}
	}
	all = append(all, near...)
	return all[:min(len(all), holdersToTry)]
}

func (k *Recorder) holdAt(ctx context.Context, address string, records []billing.Record) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdLimit.Duration())
	defer cancel()
	return k.peers.HoldBills(ctx, address, records)
}

// Hold takes in records for a peer.
func (k *Recorder) Hold(records []billing.Record) bool {
	return k.ledger.Hold(records, k.common.Clock.Now())
}

// Release drops records that their origin has written.
func (k *Recorder) Release(ids []string) { k.ledger.Release(ids) }

// errBusy says that another flush is under way.
var errBusy = errors.New("another flush is under way")

// busyWait is how long a hand-over waits for a flush that is under way.
const busyWait = 20 * time.Millisecond

// Flush writes one batch of due records; it returns how many there were.
func (k *Recorder) Flush(ctx context.Context) (int, error) {
	if !k.writing.TryLock() {
		return 0, errBusy
	}
	defer k.writing.Unlock()
	due := k.ledger.Due(int(k.common.Settings.Bills.BatchRows), k.common.Clock.Now())
	if len(due) == 0 {
		return 0, nil
	}
	return len(due), k.write(ctx, due)
}

// write inserts the records if absent. A lost answer is safe: the records stay
// and are written again.
func (k *Recorder) write(ctx context.Context, records []billing.Record) error {
	batch := tableservice.Batch{}
	for _, r := range records {
		w, err := tableservice.NewWrite(Table, r.ID, r, tableservice.IfAbsent, 0)
		if err != nil {
			return err
		}
		batch.Writes = append(batch.Writes, w)
	}
	if _, err := k.table.Commit(ctx, batch); err != nil {
		return err
	}
	k.ledger.MarkWritten(records)
	k.tellHolders(ctx, records)
	return nil
}

func (k *Recorder) tellHolders(ctx context.Context, records []billing.Record) {
	byAddress := make(map[string][]string)
	k.mu.Lock()
	for _, r := range records {
		if address, ok := k.holders[r.ID]; ok {
			byAddress[address] = append(byAddress[address], r.ID)
			delete(k.holders, r.ID)
		}
	}
	k.mu.Unlock()
	var telling sync.WaitGroup
	for address, ids := range byAddress {
		telling.Add(1)
		go func() {
			defer telling.Done()
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdLimit.Duration())
			defer cancel()
			// A holder that misses this writes the records again, which does no harm.
			k.peers.ReleaseBills(ctx, address, ids)
		}()
	}
	telling.Wait()
}

// HandOver empties the ledger at a shutdown: into the table service, or else
// to two peers. It returns an error while records remain here alone.
func (k *Recorder) HandOver(ctx context.Context) error {
	for {
		n, err := k.Flush(ctx)
		if errors.Is(err, errBusy) {
			time.Sleep(busyWait)
			continue
		}
		if err != nil || n == 0 {
			break
		}
	}
	rest := k.ledger.All()
	if len(rest) == 0 {
		return nil
	}
	copies := 0
	for _, address := range k.holderAddresses("handover") {
		if k.holdAt(ctx, address, rest) {
			copies++
		}
		if copies == 2 {
			return nil
		}
	}
	if copies == 0 {
		return errors.Errorf("%d bill records couldn't be handed over", len(rest))
	}
	return nil
}

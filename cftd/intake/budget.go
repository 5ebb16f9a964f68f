package intake

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"comfreytack/core/command/quota"
	"comfreytack/core/field"
	"comfreytack/core/query/evict"
)

// logInterval is the least time between two log lines for the same reason.
const logInterval = time.Second

// Budget bounds the memory and descriptors of all connections of a daemon.
type Budget struct {
	settings BudgetSettings

	mu     sync.Mutex
	quota  *quota.Quota[*Account]
	logged map[string]*suppressed
}

// BudgetSettings has the explicit dependencies of a budget.
type BudgetSettings struct {
	// Bytes is the memory that connections may hold together, by its estimate.
	Bytes int64
	// Conns is how many connections may be open together.
	Conns int
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Count counts a connection or a request that was refused or closed, by port and reason.
	Count func(port, reason string)
	// Log receives at most one line in logInterval for each reason.
	Log *slog.Logger
}

// suppressed counts what happened since the last log line.
type suppressed struct {
	loggedAt time.Time
	count    int
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(settings BudgetSettings) *Budget {
	return &Budget{settings: settings, quota: quota.New[*Account](settings.Bytes, settings.Conns), logged: map[string]*suppressed{}}
}

// Account is what one connection holds.
type Account struct {
	budget *Budget
	port   string
	// remote is the peer's address, for the log.
	remote string
	// closeConn closes the connection at once; it does not block.
	closeConn func()
	// evicted is true once the connection was closed for another one.
	evicted atomic.Bool
}

// Open returns the account of a new connection with its first bytes, or nil when there is no room for it. It may close
// other connections by their closeConn.
func (b *Budget) Open(port, remote string, bytes int64, closeConn func()) *Account {
	account := &Account{budget: b, port: port, remote: remote, closeConn: closeConn}
	b.mu.Lock()
	removed, granted := b.quota.Open(b.settings.Now(), account, port, bytes)
	b.mu.Unlock()
	b.evict(removed)
	if !granted {
		b.Refused(port, reasonNoRoom, remote)
		return nil
	}
	return account
}

// Used returns the bytes held by all connections, and their number.
func (b *Budget) Used() (int64, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quota.Used()
}

// Reserve adds bytes to the account, and closes other connections if that is needed. It returns false when there is no
// room, or when this connection was closed for another.
func (a *Account) Reserve(bytes int64) bool {
	a.budget.mu.Lock()
	removed, granted := a.budget.quota.Reserve(a.budget.settings.Now(), a, bytes)
	a.budget.mu.Unlock()
	a.budget.evict(removed)
	return granted
}

// TryReserve adds bytes to the account if they are free.
func (a *Account) TryReserve(bytes int64) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.budget.quota.TryReserve(a, bytes)
}

// Release returns bytes of the account.
func (a *Account) Release(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.quota.Release(a, bytes)
}

// SetPhase notes what the connection is doing.
func (a *Account) SetPhase(phase evict.Phase) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.quota.SetPhase(a.budget.settings.Now(), a, phase)
}

// Close returns all that the account has.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.quota.Close(a)
}

func (b *Budget) evict(accounts []*Account) {
	for _, account := range accounts {
		account.evicted.Store(true)
		account.closeConn()
		b.Refused(account.port, reasonEvicted, account.remote)
	}
}

// Refused counts and logs that a request was refused, or that a connection was closed by the daemon.
func (b *Budget) Refused(port, reason, remote string) {
	b.settings.Count(port, reason)
	now := b.settings.Now()
	b.mu.Lock()
	last, known := b.logged[reason]
	if !known {
		last = &suppressed{}
		b.logged[reason] = last
	}
	last.count++
	if known && now.Sub(last.loggedAt) < logInterval {
		b.mu.Unlock()
		return
	}
	count := last.count
	last.loggedAt, last.count = now, 0
	b.mu.Unlock()
	b.settings.Log.Warn("request or connection refused", "port", port, field.Reason, reason, "remote", remote, "count", count)
}

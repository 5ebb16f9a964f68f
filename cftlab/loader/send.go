package loader

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	vegeta "github.com/tsenart/vegeta/v12/lib"
	"golang.org/x/sync/errgroup"

	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
)

const (
	// graceAfterDeadline is how long a caller waits for an answer beyond its deadline.
	graceAfterDeadline = 2 * time.Second
	firstWorkers       = 16
	mostWorkers        = 4000
	readyKeys          = 2 * keyBatch
)

// Settings says where and for how long to send.
type Settings struct {
	// Targets are addresses that requests go to in turn; not empty.
	Targets []string
	// Span is how long new requests are sent.
	Span time.Duration
	// Seed makes arrivals and work times repeatable.
	Seed uint64
	// Prefix makes request ids unique among runs.
	Prefix string
	// OnRecord is called at the end of each send, by several goroutines; nil when nobody follows.
	OnRecord func(Record)
}

// Run sends the plan and returns one record for each send, in no particular order.
func Run(ctx context.Context, settings Settings, plan Plan) ([]Record, error) {
	records := make([][]Record, len(plan.Streams))
	group, ctx := errgroup.WithContext(ctx)
	for index, stream := range plan.Streams {
		group.Go(func() error {
			sender := newSender(settings, stream, index)
			records[index] = sender.run(ctx)
			return nil
		})
	}
	err := group.Wait()
	all := []Record{}
	for _, some := range records {
		all = append(all, some...)
	}
	return all, err
}

// request is one send on its way.
type request struct {
	id   string
	work string
	key  string
	body string
	// sends counts the sends of key, this one included.
	sends int
	// resent counts the earlier sends of the same work.
	resent int
	// doubtful says that one of them may have run, so that the key must stay.
	doubtful bool
}

// sender sends one stream.
type sender struct {
	settings Settings
	stream   Stream
	client   *http.Client
	schedule Schedule
	keys     chan string
	prefix   string

	mutex sync.Mutex
	// random draws work times.
	random *rand.Rand
	// count is the number of sends so far.
	count int
	// flying has the sends without an answer by id.
	flying map[string]request
	// again has requests that are due to be sent once more.
	again []request
}

func newSender(settings Settings, stream Stream, index int) *sender {
	random := rand.New(rand.NewPCG(settings.Seed, uint64(index)))
	deadline := time.Duration(stream.DeadlineMs) * time.Millisecond
	return &sender{
		settings: settings,
		stream:   stream,
		client:   newClient(deadline + graceAfterDeadline),
		schedule: NewSchedule(stream, settings.Span, random),
		keys:     make(chan string, readyKeys),
		prefix:   fmt.Sprintf("%s-%d", settings.Prefix, index),
		random:   random,
		flying:   map[string]request{},
	}
}

func (s *sender) run(ctx context.Context) []Record {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.client.CloseIdleConnections()
	if s.stream.Keyed {
		go fetchKeys(ctx, s.client, s.stream, s.settings.Targets, s.keys)
	}
	attacker := vegeta.NewAttacker(
		vegeta.Client(s.client), vegeta.Workers(firstWorkers), vegeta.MaxWorkers(mostWorkers))
	stop := context.AfterFunc(ctx, func() { attacker.Stop() })
	defer stop()
	began := time.Now()
	records := []Record{}
	for result := range attacker.Attack(s.target, s.schedule, 0, "") {
		record := s.record(began, result)
		records = append(records, record)
		if s.settings.OnRecord != nil {
			s.settings.OnRecord(record)
		}
	}
	return records
}

// target fills in the next request. Its id travels in the fragment of the URL, which is never sent.
func (s *sender) target(target *vegeta.Target) error {
	next := s.next()
	address := s.settings.Targets[next.turn%len(s.settings.Targets)]
	path := s.stream.Path
	if !s.stream.Direct {
		path = "/svc/" + string(s.stream.Service) + path
	}
	target.Method = s.stream.Method
	target.URL = "http://" + address + path + "#" + next.id
	target.Body = []byte(next.body)
	target.Header = http.Header{
		"Comfreytack-Customer":    {string(s.stream.Customer)},
		"Comfreytack-Deadline-Ms": {strconv.Itoa(s.stream.DeadlineMs)},
		"Comfreytack-Request-Id":  {next.id},
		stub.HeaderWorkUs:         {strconv.Itoa(next.workUs)},
		stub.HeaderSize:           {strconv.Itoa(s.stream.Size)},
	}
	if next.key != "" {
		target.Header.Set("Idempotency-Key", next.key)
		target.Header.Set("Comfreytack-Send", strconv.Itoa(next.sends))
	}
	return nil
}

type turn struct {
	request
	turn   int
	workUs int
}

// next takes a request that is due again, or makes a new one.
func (s *sender) next() turn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count++
	id := fmt.Sprintf("%s-%d", s.prefix, s.count)
	next := request{work: id, body: strings.ReplaceAll(s.stream.Body, "{id}", id)}
	if len(s.again) > 0 {
		next = s.again[0]
		s.again = s.again[1:]
	}
	next.id = id
	if !next.doubtful {
		next.key = s.takeKey()
		next.sends = 0
	}
	next.sends++
	s.flying[id] = next
	return turn{request: next, turn: s.count, workUs: s.workUs()}
}

func (s *sender) takeKey() string {
	select {
	case key := <-s.keys:
		return key
	default:
		return ""
	}
}

func (s *sender) workUs() int {
	if !s.stream.Spread {
		return s.stream.WorkUs
	}
	return int(s.random.ExpFloat64() * float64(s.stream.WorkUs))
}

// record turns a result into a record and notes whether the request is due again.
func (s *sender) record(began time.Time, result *vegeta.Result) Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sent := s.flying[identity(result.URL)]
	delete(s.flying, sent.id)
	intended := s.schedule[result.Seq]
	late := result.Timestamp.Sub(began) - intended
	record := judge(Record{
		ID:         sent.id,
		Key:        sent.key,
		Work:       sent.work,
		Customer:   s.stream.Customer,
		Class:      s.stream.Class,
		Idempotent: s.stream.Idempotent,
		Intended:   intended,
		Late:       late,
		Latency:    late + result.Latency,
		Deadline:   time.Duration(s.stream.DeadlineMs) * time.Millisecond,
	}, sent, s.stream.Direct, result)
	if s.due(sent, record) {
		sent.resent++
		sent.doubtful = sent.doubtful || record.Verdict == model.MayHaveRun
		s.again = append(s.again, sent)
	}
	return record
}

// due says whether work is to be sent again. Without a key, work that may have run must not be.
func (s *sender) due(sent request, record Record) bool {
	if record.Served() || record.Verdict == model.Ran || sent.resent >= s.stream.Resend {
		return false
	}
	return record.Verdict == model.NotRun || sent.key != ""
}

func identity(address string) string {
	parsed, err := url.Parse(address)
	if err != nil {
		return ""
	}
	return parsed.Fragment
}

func newClient(timeout time.Duration) *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: mostWorkers,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &http.Client{Timeout: timeout, Transport: once{inner: transport}}
}

// once sends each request at most once. Without it the standard transport repeats requests with an
// idempotency key, and all GET requests, when a reused connection breaks.
type once struct {
	inner *http.Transport
}

// RoundTrip sends a request whose body cannot be rewound, which rules out a repetition.
func (o once) RoundTrip(request *http.Request) (*http.Response, error) {
	single := request.Clone(request.Context())
	single.GetBody = nil
	if single.Body == nil || single.Body == http.NoBody {
		single.Body = io.NopCloser(strings.NewReader(""))
	}
	return o.inner.RoundTrip(single)
}

// CloseIdleConnections closes the connections that no request uses.
func (o once) CloseIdleConnections() {
	o.inner.CloseIdleConnections()
}

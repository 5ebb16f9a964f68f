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
	initialWorkers     = 16
	maxWorkers         = 4000
	keyBufferSize      = 2 * keyBatchSize
)

// Settings defines where and for how long to send.
type Settings struct {
	// Targets are the addresses to which requests go in turn; not empty.
	Targets []string
	// Span is how long new requests are sent.
	Span time.Duration
	// Seed makes arrivals and work times repeatable.
	Seed uint64
	// Prefix makes request ids unique among runs.
	Prefix string
	// OnRecord is called at the end of each send, from several goroutines; may be nil.
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
	for _, streamRecords := range records {
		all = append(all, streamRecords...)
	}
	return all, err
}

// request is one send of a piece of work.
type request struct {
	id   string
	work string
	key  string
	body string
	// sends counts the sends of key, this one included.
	sends int
	// resent counts the earlier sends of the same work.
	resent int
	// mayHaveRun means that one of the earlier sends may have run, so that the key must stay the same.
	mayHaveRun bool
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
	// inFlight has the sends that await an answer, by id.
	inFlight map[string]request
	// resends queues the requests to send again.
	resends []request
}

func newSender(settings Settings, stream Stream, index int) *sender {
	random := rand.New(rand.NewPCG(settings.Seed, uint64(index)))
	deadline := time.Duration(stream.DeadlineMs) * time.Millisecond
	return &sender{
		settings: settings,
		stream:   stream,
		client:   newClient(deadline + graceAfterDeadline),
		schedule: NewSchedule(stream, settings.Span, random),
		keys:     make(chan string, keyBufferSize),
		prefix:   fmt.Sprintf("%s-%d", settings.Prefix, index),
		random:   random,
		inFlight: map[string]request{},
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
		vegeta.Client(s.client), vegeta.Workers(initialWorkers), vegeta.MaxWorkers(maxWorkers))
	stop := context.AfterFunc(ctx, func() { attacker.Stop() })
	defer stop()
	start := time.Now()
	records := []Record{}
	for result := range attacker.Attack(s.target, s.schedule, 0, "") {
		record := s.record(start, result)
		records = append(records, record)
		if s.settings.OnRecord != nil {
			s.settings.OnRecord(record)
		}
	}
	return records
}

// target implements vegeta.Targeter with the next request. The request's id is kept in the fragment of the URL,
// which is never sent, so that record can find the request from the result.
func (s *sender) target(target *vegeta.Target) error {
	next := s.next()
	address := s.settings.Targets[next.attempt%len(s.settings.Targets)]
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

// attempt is a request with the number of this send in the stream, from 1, and its work time.
type attempt struct {
	request
	attempt int
	workUs  int
}

// next returns the first request in resends, or a new one.
func (s *sender) next() attempt {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count++
	id := fmt.Sprintf("%s-%d", s.prefix, s.count)
	next := request{work: id, body: strings.ReplaceAll(s.stream.Body, "{id}", id)}
	if len(s.resends) > 0 {
		next = s.resends[0]
		s.resends = s.resends[1:]
	}
	next.id = id
	if !next.mayHaveRun {
		next.key = s.takeKey()
		next.sends = 0
	}
	next.sends++
	s.inFlight[id] = next
	return attempt{request: next, attempt: s.count, workUs: s.workUs()}
}

// takeKey returns a prefetched key, or an empty one when none is ready.
func (s *sender) takeKey() string {
	select {
	case key := <-s.keys:
		return key
	default:
		return ""
	}
}

// workUs returns the work time of the next request.
func (s *sender) workUs() int {
	if !s.stream.Spread {
		return s.stream.WorkUs
	}
	return int(s.random.ExpFloat64() * float64(s.stream.WorkUs))
}

// record returns the record of a result and queues the request if it is to be sent again.
func (s *sender) record(start time.Time, result *vegeta.Result) Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sent := s.inFlight[requestID(result.URL)]
	delete(s.inFlight, sent.id)
	intended := s.schedule[result.Seq]
	late := result.Timestamp.Sub(start) - intended
	record := completeRecord(Record{
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
	if s.mustResend(sent, record) {
		sent.resent++
		sent.mayHaveRun = sent.mayHaveRun || record.Verdict == model.MayHaveRun
		s.resends = append(s.resends, sent)
	}
	return record
}

// mustResend reports whether to send work again. Work that may have run is only sent again with a key, which keeps it
// from running twice.
func (s *sender) mustResend(sent request, record Record) bool {
	if record.Served() || record.Verdict == model.Ran || sent.resent >= s.stream.Resend {
		return false
	}
	return record.Verdict == model.NotRun || sent.key != ""
}

// requestID returns the id that target put into the fragment of a URL.
func requestID(address string) string {
	parsed, err := url.Parse(address)
	if err != nil {
		return ""
	}
	return parsed.Fragment
}

func newClient(timeout time.Duration) *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxWorkers,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &http.Client{Timeout: timeout, Transport: singleSendTransport{inner: transport}}
}

// singleSendTransport sends each request at most once. Without it the standard transport repeats requests with an
// idempotency key, and all GET requests, when a reused connection breaks.
type singleSendTransport struct {
	inner *http.Transport
}

// RoundTrip sends a request whose body cannot be rewound, which rules out a repetition.
func (t singleSendTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	clone := request.Clone(request.Context())
	clone.GetBody = nil
	if clone.Body == nil || clone.Body == http.NoBody {
		clone.Body = io.NopCloser(strings.NewReader(""))
	}
	return t.inner.RoundTrip(clone)
}

// CloseIdleConnections closes the connections that no request uses.
func (t singleSendTransport) CloseIdleConnections() {
	t.inner.CloseIdleConnections()
}

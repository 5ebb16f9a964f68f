package loader

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	vegeta "github.com/tsenart/vegeta/v12/lib"

	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
)

// completeRecord adds the outcome of a send to its record.
func completeRecord(record Record, sent request, direct bool, result *vegeta.Result) Record {
	record.Status = int(result.Code)
	record.Verdict, record.Reason = readVerdict(result.Headers, direct && result.Code != 0)
	if result.Code == 0 {
		record.Error = result.Error
	}
	if strings.Contains(record.Error, ": connect: ") {
		record.Verdict, record.Reason = model.NotRun, NoConnection
	}
	if result.Code == http.StatusOK {
		record.Wrong = record.Verdict == model.NotRun || !answerMatches(sent, result.Body)
	}
	return record
}

// readVerdict reads the verdict and its reason from the headers of an answer. A request whose answer has no valid
// verdict may have run.
func readVerdict(headers http.Header, direct bool) (model.Verdict, string) {
	if direct {
		return model.Ran, model.NoReason.String()
	}
	var parsed model.Verdict
	if err := parsed.UnmarshalText([]byte(headers.Get("Comfreytack-Verdict"))); err != nil {
		return model.MayHaveRun, NoVerdict
	}
	return parsed, headers.Get("Comfreytack-Reason")
}

// answerMatches reports whether body is the complete answer of a fake upstream to this request. The answer to an
// earlier send of the same key matches too, since that send had the same body.
func answerMatches(sent request, body []byte) bool {
	head, payload, found := bytes.Cut(body, []byte("\n"))
	if !found {
		return false
	}
	var answer stub.Answer
	if err := json.Unmarshal(head, &answer); err != nil {
		return false
	}
	if sent.key == "" && answer.ID != sent.id {
		return false
	}
	return answer.Key == sent.key &&
		answer.BodySum == xxhash.Sum64String(sent.body) &&
		answer.Length == len(payload) &&
		answer.Sum == xxhash.Sum64(payload)
}

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

// judge completes a record with what the answer says.
func judge(record Record, sent request, direct bool, result *vegeta.Result) Record {
	record.Status = int(result.Code)
	record.Verdict, record.Reason = verdict(result.Headers, direct && result.Code != 0)
	if result.Code == 0 {
		record.Error = result.Error
	}
	if strings.Contains(record.Error, ": connect: ") {
		record.Verdict, record.Reason = model.NotRun, NoConnection
	}
	if result.Code == http.StatusOK {
		record.Wrong = record.Verdict == model.NotRun || !matches(sent, result.Body)
	}
	return record
}

// verdict reads the headers of an answer; what it does not say may have run.
func verdict(headers http.Header, direct bool) (model.Verdict, string) {
	if direct {
		return model.Ran, model.NoReason.String()
	}
	var said model.Verdict
	if err := said.UnmarshalText([]byte(headers.Get("Comfreytack-Verdict"))); err != nil {
		return model.MayHaveRun, NoVerdict
	}
	return said, headers.Get("Comfreytack-Reason")
}

// matches says whether body is the whole answer of a fake upstream to this request. The answer to an
// earlier send of the same key counts: it has the same body.
func matches(sent request, body []byte) bool {
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

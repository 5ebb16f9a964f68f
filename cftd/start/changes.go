package start

import (
	"log/slog"

	"comfreytack/core/field"
	"comfreytack/core/model"
	"comfreytack/core/query/diff"
)

// logChanges returns a function that logs the changes between two snapshots, one line for each.
func logChanges(log *slog.Logger) func(before, after *model.Snapshot) {
	return func(before, after *model.Snapshot) {
		for _, change := range diff.Between(before, after) {
			attributes := []any{field.Revision, after.Revision, field.Document, after.Document}
			if change.Upstream.Name != "" {
				attributes = append(attributes,
					field.Upstream, change.Upstream.Name, field.Instance, change.Upstream.Instance, field.Service, change.Upstream.Service)
			}
			if change.FailureDomain != "" {
				attributes = append(attributes, field.FailureDomain, change.FailureDomain)
			}
			log.Warn(change.Kind.String(), attributes...)
		}
	}
}

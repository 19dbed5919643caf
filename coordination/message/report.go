package message

import (
	"time"

	"azurebridge/state/report"
)

// ReportScope says whose figures a ReportRequest asks for.
type ReportScope uint8

const (
	ReportInstance ReportScope = iota + 1 // the receiver's own
	ReportRegion                          // of all instances of the receiver's region, which it collects
)

// Bounds of report pages.
const (
	MaxReportPage  = 40 << 10 // bytes of the part in one page, as estimated by package reporting
	MaxReportPages = 64       // pages of one answer
)

// ReportRequest asks for a contribution to a report. It is answered by ReportPages.
type ReportRequest struct {
	ID    uint64 // unique within the sender's incarnation
	Scope ReportScope
	Wait  time.Duration // within which the answer is useful
}

// ReportPage is one page of the answer to a ReportRequest. Merged, the pages are one part.
type ReportPage struct {
	ID    uint64 // of the request
	Page  int    // from 0
	Pages int
	Part  report.Part
}

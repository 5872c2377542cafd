package loadcmd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/urfave/cli/v3"

	"lagoonrack/internal/fault"
)

// watchCommand returns the command that measures the resource usage of processes.
func watchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "measure what processes spend over a while, from their metrics",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "operator", Usage: "operator `ADDRESS` of a process; may be repeated"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "length of the measurement"},
		},
		Action: watch,
	}
}

// Metric series that watch reads.
const (
	cpuSeries      = "process_cpu_seconds_total"
	memorySeries   = "process_resident_memory_bytes"
	receivedSeries = `lagoon_peer_bytes{way="in"}`
	sentSeries     = `lagoon_peer_bytes{way="out"}`
	answersSeries  = "lagoon_answers_total"
)

// watch reads the metrics of all processes twice and prints the usage between.
func watch(ctx context.Context, c *cli.Command) error {
	addrs := c.StringSlice("operator")
	if len(addrs) == 0 {
		return errors.New("watch: --operator is needed")
	}
	before, err := scrapeAll(ctx, addrs)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(c.Duration("for")):
	}
	after, err := scrapeAll(ctx, addrs)
	if err != nil {
		return err
	}
	for i, a := range addrs {
		printUsage(c.Root().Writer, a, before[i], after[i], c.Duration("for"))
	}
	return nil
}

// metrics maps the series of one scrape, with their labels, to their values.
type metrics map[string]float64

// printUsage prints the usage of a process between the scrapes a and b, which
// are d apart.
func printUsage(w io.Writer, addr string, a, b metrics, d time.Duration) {
	cpu := b[cpuSeries] - a[cpuSeries]
	fmt.Fprintf(w, "%s: %.2f%% of a core, %.1f MB resident, %.0f bytes/s in, %.0f bytes/s out",
		addr, 100*cpu/d.Seconds(), b[memorySeries]/1e6,
		(b[receivedSeries]-a[receivedSeries])/d.Seconds(), (b[sentSeries]-a[sentSeries])/d.Seconds())
	if n := b.sum(answersSeries) - a.sum(answersSeries); n > 0 {
		fmt.Fprintf(w, ", %.0f answers, %.1f us of processor time each", n, 1e6*cpu/n)
	}
	fmt.Fprintln(w)
}

// sum returns the sum of all series of a metric over its labels.
func (m metrics) sum(name string) float64 {
	total := 0.0
	for k, v := range m {
		if k == name || strings.HasPrefix(k, name+"{") {
			total += v
		}
	}
	return total
}

// scrapeAll reads the metrics of each process.
func scrapeAll(ctx context.Context, addrs []string) ([]metrics, error) {
	var out []metrics
	for _, a := range addrs {
		m, err := scrape(ctx, a)
		if err != nil {
			return nil, fault.At("read metrics", a).Wrap(err)
		}
		out = append(out, m)
	}
	return out, nil
}

// scrape reads the metrics of one process. Lines that are not samples are ignored.
func scrape(ctx context.Context, addr string) (metrics, error) {
	h, err := client.NewClient(client.WithDialer(standard.NewDialer()))
	if err != nil {
		return nil, err
	}
	defer h.CloseIdleConnections()
	status, body, err := h.Get(ctx, nil, "http://"+addr+"/metrics")
	if err != nil {
		return nil, err
	}
	if status != 200 {
		return nil, fmt.Errorf("status %d", status)
	}
	m := metrics{}
	s := bufio.NewScanner(bytes.NewReader(body))
	for s.Scan() {
		name, value, ok := strings.Cut(s.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			m[name] = v
		}
	}
	return m, s.Err()
}

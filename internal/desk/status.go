package desk

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonrack/internal/api"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/sched"
)

// status responds with the configuration in force at the entry, the cell's owner and, if the
// entry follows evacuations, the evacuated zones as far as it knows.
func (d *Handler) status(_ context.Context, rc *app.RequestContext) {
	f := d.Front
	s := api.Status{Entry: f.Name, Cells: []api.CellStatus{{Name: sched.CellTable, Owner: f.Owner()}}}
	if c := f.Config(); c != nil {
		s.Version = c.Version
	}
	if z, follows := f.Evacuated(); follows {
		at, known := z.At()
		s.Zones = &api.ZoneStatus{Evacuated: z.Names(), Version: z.Version(), Known: known}
		if known {
			s.Zones.AgeMs = (f.Clock.Now() - at).Milliseconds()
		}
	}
	httpd.JSON(rc, http.StatusOK, s)
}

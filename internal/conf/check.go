package conf

import (
	"fmt"
	"regexp"

	"lagoonrack/internal/tree"
	"lagoonrack/internal/unit"
)

// checker collects the validation errors of one merged tree.
type checker struct{ tree.Check }

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// maxCount bounds counts in settings, so that a mistyped number does not exhaust
// memory.
const maxCount = 1_000_000

func check(s Settings, t *tree.Tree) error {
	c := &checker{tree.Check{Tree: t}}
	c.Want(namePattern.MatchString(s.Site), "site", "%q is not a name of lower-case letters, digits and hyphens", s.Site)
	c.Want(len(s.Zones) > 0, "zones", "at least one availability zone is needed")
	c.lease(s.Lease)
	c.Want(s.Jobs.Attempts >= 1 && s.Jobs.Attempts <= 100, "jobs.attempts", "%d is not between 1 and 100", s.Jobs.Attempts)
	c.Want(s.Jobs.Tasks >= 1 && s.Jobs.Tasks <= maxCount, "jobs.tasks", "%d is not between 1 and %d", s.Jobs.Tasks, maxCount)
	c.Want(s.Jobs.Urgent > 0, "jobs.urgent", "%s is not above 0", s.Jobs.Urgent)
	c.Want(s.Guard.Spare >= 0 && s.Guard.Spare < 1, "guard.spare", "%g is not a share from 0 to below 1", s.Guard.Spare)
	c.teams(s)
	c.services(s)
	c.cells(s)
	c.nodes(s)
	return c.Err()
}

func (c *checker) lease(l Lease) {
	c.Want(l.Beat > 0, "lease.beat", "%s is not above 0", l.Beat)
	c.Want(l.Silent >= 2*l.Beat, "lease.silent", "%s is less than two beats of %s", l.Silent, l.Beat)
	c.Want(l.Run >= 3*l.Beat, "lease.run", "%s is less than three beats of %s", l.Run, l.Beat)
	c.Want(l.Owner >= 2*unit.Duration(1e9), "lease.owner", "%s is less than 2s", l.Owner)
	c.Want(l.Page > 0 && l.Page <= l.Owner, "lease.page", "%s is not above 0 and at most lease.owner, %s", l.Page, l.Owner)
	c.Want(l.Outage >= l.Owner, "lease.outage", "%s is less than lease.owner, %s", l.Outage, l.Owner)
}

// names checks that the names of a list's items are well formed and unique.
func (c *checker) names(list string, names []string) {
	seen := map[string]bool{}
	for _, n := range names {
		path := fmt.Sprintf("%s[%s]", list, n)
		c.Want(namePattern.MatchString(n), path, "%q is not a name of lower-case letters, digits and hyphens", n)
		c.Want(!seen[n], path, "the name is given twice")
		seen[n] = true
	}
}

func namesOf[T any](all []T, name func(T) string) []string {
	var out []string
	for _, v := range all {
		out = append(out, name(v))
	}
	return out
}

func (c *checker) teams(s Settings) {
	c.names("teams", namesOf(s.Teams, func(t Team) string { return t.Name }))
	for _, t := range s.Teams {
		p := "teams[" + t.Name + "]"
		c.Want(t.Share >= 1 && t.Share <= 1000, p+".share", "%d is not between 1 and 1000", t.Share)
		c.Want(!t.Quota().Negative(), p, "a quota is below 0")
	}
}

func (c *checker) services(s Settings) {
	teams := map[string]bool{}
	for _, t := range s.Teams {
		teams[t.Name] = true
	}
	c.names("services", namesOf(s.Services, func(v Service) string { return v.Name }))
	for _, v := range s.Services {
		p := "services[" + v.Name + "]"
		c.Want(teams[v.Team], p+".team", "there is no team %q", v.Team)
		c.Want(v.Timeout >= minTimeout, p+".timeout", "%s is less than %s", v.Timeout, minTimeout)
		c.Want(v.Objective > 0 && v.Objective <= v.Timeout, p+".objective", "%s is not above 0 and at most the timeout, %s", v.Objective, v.Timeout)
		c.Want(v.Body > 0 && v.Body <= 64<<20, p+".body", "%s is not above 0 and at most 64MiB", v.Body)
		c.Want(v.Queue >= 1 && v.Queue <= maxCount, p+".queue", "%d is not between 1 and %d", v.Queue, maxCount)
		c.Want(v.Slots >= 1 && v.Slots <= 10000, p+".slots", "%d is not between 1 and 10000", v.Slots)
		c.Want(v.Minions >= 0 && v.Minions <= maxCount, p+".minions", "%d is not between 0 and %d", v.Minions, maxCount)
		c.Want(v.Spare >= 0 && v.Spare <= v.Slots, p+".spare", "%d is not between 0 and the slots, %d", v.Spare, v.Slots)
		c.Want(v.Push >= 0 && v.Push <= v.Spare, p+".push", "%d is not between 0 and spare, %d", v.Push, v.Spare)
		c.Want(v.Retries >= 0 && v.Retries <= 100, p+".retries", "%d is not between 0 and 100", v.Retries)
		c.Want(v.Rate >= 0 && v.Rate <= 1, p+".rate", "%g is not a share from 0 to 1", v.Rate)
		c.Want(v.Eject >= 1, p+".eject", "%d is less than 1", v.Eject)
		c.Want(!v.Drop, p+".drop", "there is nothing to remove")
	}
}

func (c *checker) cells(s Settings) {
	c.names("cells", namesOf(s.Cells, func(v Cell) string { return v.Name }))
	c.Want(len(s.Cells) > 0, "cells", "at least one cell is needed")
}

func (c *checker) nodes(s Settings) {
	c.names("nodes", namesOf(s.Nodes, func(v Node) string { return v.Name }))
	var cores float64
	var memory unit.Bytes
	var accel int64
	for _, n := range s.Nodes {
		p := "nodes[" + n.Name + "]"
		c.Want(n.Count >= 0 && n.Count <= maxCount, p+".count", "%d is not between 0 and %d", n.Count, maxCount)
		c.Want(n.Rack >= 1, p+".rack", "%d is less than 1", n.Rack)
		c.Want(n.Cores > 0 && n.Memory > 0 && n.Accel >= 0, p, "cores and memory must be above 0")
		cores += float64(n.Count) * n.Cores
		memory += unit.Bytes(n.Count) * n.Memory
		accel += int64(n.Count) * n.Accel
	}
	for _, t := range s.Teams {
		p := "teams[" + t.Name + "]"
		c.Want(t.Cores <= cores, p+".cores", "the quota of %g is more than the site's workers have, %g", t.Cores, cores)
		c.Want(t.Memory <= memory, p+".memory", "the quota of %s is more than the site's workers have, %s", t.Memory, memory)
		c.Want(t.Accel <= accel, p+".accel", "the quota of %d is more than the site's workers have, %d", t.Accel, accel)
	}
}

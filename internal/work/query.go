package work

// PlacementQuery asks the owner where the tasks of a job would go now. The job is not submitted.
type PlacementQuery struct {
	Job Job
	// Most is the maximum number of candidates for each step in the answer.
	Most int
}

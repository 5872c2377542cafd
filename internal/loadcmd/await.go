package loadcmd

import "context"

// await runs f and returns its result, or the context's error as soon as the
// context ends. In that case f continues in the background. This is harmless for
// experiments: they only use memory, which is freed when the process exits.
func await[T any](ctx context.Context, f func() T) (T, error) {
	done := make(chan T, 1)
	go func() { done <- f() }()
	select {
	case v := <-done:
		return v, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Package probe lets tests call all methods that a process serves by net/rpc.
package probe

import "reflect"

// Call is a method of a net/rpc receiver.
type Call struct {
	Name string
	// Do calls the method with an empty argument and returns its error.
	Do func() error
}

// Calls returns the methods of a receiver in the order of their names.
func Calls(receiver any) []Call {
	v := reflect.ValueOf(receiver)
	out := make([]Call, v.NumMethod())
	for i := range out {
		m := v.Method(i)
		out[i] = Call{Name: v.Type().Method(i).Name, Do: func() error {
			in := m.Type()
			res := m.Call([]reflect.Value{reflect.Zero(in.In(0)), reflect.New(in.In(1).Elem())})
			err, _ := res[0].Interface().(error)
			return err
		}}
	}
	return out
}

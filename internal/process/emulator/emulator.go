// Package emulator provides in-process stand-ins for the external systems that
// the gateway talks to.
//
// [Platform] is an object store with versions, conditional updates and watches;
// [FaultyStore] injects faults into any such store. [ObjectStore] is the store
// of the users' platform. [Engine] is a model engine that streams answers token
// by token, [OrderHandler] its order endpoint, [Runner] an upstream with
// selectable faults, and [Service] a plain service that counts how often it ran
// each call. The demo and the tests run against them on one machine. Their
// performance says nothing about the real systems.
//
// [Batch] is the simulation of continuous batching on which Engine runs. The
// bench steps the same simulation on a virtual clock.
//
// The text of an answer depends only on the prompt, so that a caller can detect
// an answer to another request or a wrongly resumed stream.
//
// # Usage
//
//	p := emulator.NewPlatform()
//	defer p.Stop()
//	http.Serve(listener, emulator.PlatformHandler(p))
//	e := emulator.NewEngine(emulator.EngineOptions{...})
//	defer e.Stop()
//	http.Serve(other, e)
//	e.SlowDown(5)
package emulator

const (
	errConflict = constant("the object has another version")
	errDown     = constant("the platform is down")
	errLost     = constant("no answer")
)

// constant is an error type whose values can be Go constants, so that the
// package needs no error variables.
type constant string

// Error implements error.
func (c constant) Error() string { return string(c) }

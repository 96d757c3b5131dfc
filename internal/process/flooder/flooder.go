// Package flooder contains the tests of an entry under a crowd of uncontrolled clients, in
// its test files.
//
// Each test starts the program as a process with an emulated object store and an emulated
// runner, and a memory limit below what the crowd sends. The clients send bodies that stop
// short of their end, or bodies far over the limit, and keep their connections open. The
// test checks that the process lives, that its resident memory together with the bytes that
// its sockets have received stays within the memory limit, that its descriptors stay within
// a bound, and that an ordinary request is answered once the crowd has gone.
//
// The tests run one at a time. They check no times and no share of served requests.
//
// # Usage
//
//	go test -v ./internal/process/flooder
package flooder

// Package assembler assembles one answer from the token frames of its attempts.
//
// An answer may come from several attempts on several upstreams, and frames of
// an abandoned attempt may still arrive. Since a caller must get each token of
// its answer exactly once, an [Answer] accepts tokens of the current attempt only
// and in index order: it drops duplicate tokens and returns an error for a gap.
//
// # Usage
//
//	var a assembler.Answer
//	a.Attempt = 1
//	tokens, err := a.Add(1, 0, []string{"The ", "unit "})
package assembler

import "github.com/go-faster/errors"

// Answer tracks the tokens of one answer. The zero value is an answer without
// tokens, before the first attempt.
type Answer struct {
	// Attempt is the number of the current attempt. The caller of this package
	// sets it.
	Attempt int
	// Tokens is the number of tokens accepted so far, which is the index of the
	// next token.
	Tokens int
	// DroppedTokens is the number of tokens that were duplicates or belonged to
	// another attempt.
	DroppedTokens int
}

// Add accepts tokens of an attempt, whose indexes in the answer start at first,
// and returns the tokens that were not accepted before.
func (a *Answer) Add(attempt, first int, tokens []string) ([]string, error) {
	if attempt != a.Attempt {
		a.DroppedTokens += len(tokens)
		return nil, nil
	}
	if first > a.Tokens {
		return nil, &Error{Op: "add", Kind: ErrorGap, Err: errors.Errorf("token %d follows token %d", first, a.Tokens-1)}
	}
	duplicates := min(a.Tokens-first, len(tokens))
	a.DroppedTokens += duplicates
	tokens = tokens[duplicates:]
	a.Tokens += len(tokens)
	return tokens, nil
}

// Finish checks that the answer of an attempt, which has length tokens, is
// complete. It ignores any attempt except the current one.
func (a *Answer) Finish(attempt, length int) error {
	if attempt == a.Attempt && length != a.Tokens {
		return &Error{Op: "finish", Kind: ErrorGap, Err: errors.Errorf("answer ends after %d tokens, %d arrived", length, a.Tokens)}
	}
	return nil
}

package table

// KeyVersion is the key of the row that holds the accepted version as a decimal number. The row is
// written in the same transaction as KeyCurrent, so that entries poll a few bytes every 2 s instead
// of the whole document.
const KeyVersion = "config/version"

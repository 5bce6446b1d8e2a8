package table

// KeyVersion is a row that holds the accepted version as a decimal number. It is written in the transaction that
// writes KeyCurrent, so that entries poll a few bytes instead of the whole document every 2 s.
const KeyVersion = "config/version"

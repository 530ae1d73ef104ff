package keyedlog

// eraShift is the number of bits of an offset that hold the position within an era. A log that appends 10,000 records
// a second fills an era in three years.
const eraShift = 40

// OffsetIn returns the offset of a position in an era. An era begins when the log is restored from an older copy, which
// gives out the same positions again. Offsets of a later era are higher than all earlier ones, so that records can be
// compared by their offsets.
func OffsetIn(era, position uint64) uint64 { return era<<eraShift | position }

// Era returns the era of an offset.
func Era(offset uint64) uint64 { return offset >> eraShift }

// Position returns the position of an offset in its era.
func Position(offset uint64) uint64 { return offset & (1<<eraShift - 1) }

//! The verb `bills`: sums of bills.

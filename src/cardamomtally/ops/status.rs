//! The verb `status`: what is in force, and where.

//! State charts in files, validated at start and interpreted.

//! The verb `ticket`: submit, show, diff, history, wait.

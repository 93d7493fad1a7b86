"""Small runnable examples of the embeddable components."""

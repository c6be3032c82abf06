"""The expression language: the compiled form against the reference, fuzzing, inputs grown from bytes, samples."""

// Empty source of the target that owns the precompiled header, which the other targets reuse.

"""Scale tests: how each role's state, messages, processor time and memory grow, measured up to the full size.

python -m benchmarks.capacity list
python -m benchmarks.capacity measure --seeds 1 2      # all probes; writes measurements.json
python -m benchmarks.capacity page                     # docs/CAPACITY.md from measurements.json
"""

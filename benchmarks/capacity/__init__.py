"""Scale tests: growth of each role's state, messages, processor time and memory, measured up to full size.

python -m benchmarks.capacity list
python -m benchmarks.capacity measure --seeds 1 2      # all probes; writes measurements.json
python -m benchmarks.capacity page                     # rewrites docs/CAPACITY.md from measurements.json
"""

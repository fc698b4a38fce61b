-- Policy of a process test: two replicas in its hall.
function placement(pool, halls, hour)
  return {["hall-1"] = 2}
end

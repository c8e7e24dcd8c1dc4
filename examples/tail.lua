-- Favours long work: it counts as long earlier, and a larger share of each machine type is kept
-- for it while it waits.
eta = 0.5
rho = 0.3

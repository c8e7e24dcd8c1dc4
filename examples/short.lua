-- Favours short work: nothing is held back for long work, and a boost needs twice the mean.
rho = 0
heavy = 2

"""Who may be out: agreed by a majority of voters, and never freed because time has passed."""

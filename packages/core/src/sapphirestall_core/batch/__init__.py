"""Jobs of steps on workers that an entry instance owns under a fence."""

package planted
